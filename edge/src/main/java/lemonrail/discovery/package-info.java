/** Clients that keep the endpoint list up to date by watching discovery or a control node. */
package lemonrail.discovery;
