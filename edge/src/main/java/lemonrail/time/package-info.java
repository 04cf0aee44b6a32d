/** The clock of an event loop, and the measurement of the loop's lag. */
package lemonrail.time;
