/** Counters and gauges of a process, and their text format. */
package lemonrail.metrics;
