/** Measures the latency and the processor time that a sidecar adds to a request. */
package lemonrail.lab.scale.path;
