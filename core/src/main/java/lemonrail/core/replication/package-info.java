/**
 * The replicated state of control nodes and of their watchers. Nothing here does I/O, reads a clock or uses threads.
 */
package lemonrail.core.replication;
