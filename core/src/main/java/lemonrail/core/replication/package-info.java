/** The replicated state of control nodes and of their watchers. No I/O, no clock, no threads. */
package lemonrail.core.replication;
