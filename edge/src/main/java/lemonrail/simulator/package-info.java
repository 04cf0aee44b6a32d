/** The adapter that runs the load balancer on the simulator's wire. */
package lemonrail.simulator;
