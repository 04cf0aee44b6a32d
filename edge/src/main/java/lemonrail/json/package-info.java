/** Reading and writing of JSON documents. */
package lemonrail.json;
