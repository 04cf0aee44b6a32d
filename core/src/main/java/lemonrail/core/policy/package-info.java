/** The load balancer: every decision on a request, one class a rule. No I/O, no clock, no threads. */
package lemonrail.core.policy;
