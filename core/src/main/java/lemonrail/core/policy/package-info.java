/**
 * The load balancer: all decisions on requests, with one class per rule. Nothing here does I/O, reads a clock or uses
 * threads.
 */
package lemonrail.core.policy;
