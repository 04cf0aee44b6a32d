/** Listeners and socket options. */
package lemonrail.net;
