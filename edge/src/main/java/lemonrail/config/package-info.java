/** Configuration: the operators' TOML file, the platform's JSON file and the schema of both. */
package lemonrail.config;
