/** Protocol-independent handling of requests: their attempts, their deadlines and their final responses. */
package lemonrail.exchange;
