/**
 * Statistics and algorithms that the balancer's policy classes share, and the settings reader. Nothing here does I/O or
 * reads a clock.
 */
package lemonrail.core;
