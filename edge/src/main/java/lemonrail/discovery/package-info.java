/** Clients that keep the endpoint list current, by polling or by a watch. */
package lemonrail.discovery;
