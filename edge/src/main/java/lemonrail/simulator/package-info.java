/** The adapter that runs the load balancer behind the simulator's protocol. */
package lemonrail.simulator;
