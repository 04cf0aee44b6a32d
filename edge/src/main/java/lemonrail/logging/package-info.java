/** Structured log events, their levels and the bounded output that never blocks a request. */
package lemonrail.logging;
