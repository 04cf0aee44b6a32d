/** Message bodies that are forwarded while they arrive, with backpressure and a memory bound. */
package lemonrail.streaming;
