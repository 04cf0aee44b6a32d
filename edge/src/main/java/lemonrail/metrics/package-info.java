/** Counters and gauges of a process, and their text form. */
package lemonrail.metrics;
