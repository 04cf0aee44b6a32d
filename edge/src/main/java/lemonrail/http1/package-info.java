/** HTTP/1.1: connections from clients and to endpoints, parsing and writing of messages. */
package lemonrail.http1;
