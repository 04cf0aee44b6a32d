/** Strict reading of JSON documents. */
package lemonrail.json;
