/** The protocol-independent part of a request: its attempts, deadlines and the one final response. */
package lemonrail.exchange;
