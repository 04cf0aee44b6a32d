/** Measurement of the latency and processor time that a sidecar adds to a request. */
package lemonrail.lab.scale.path;
