/** Configuration files: the operators' TOML file, the platform's JSON file and the schema of the former. */
package lemonrail.config;
