/** Addresses and socket options. */
package lemonrail.net;
