/** HTTP/1.1: the connections of clients and to endpoints, and the reading and writing of messages. */
package lemonrail.http1;
