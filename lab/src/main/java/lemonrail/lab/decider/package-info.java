/** Baseline load balancers to compare against. */
package lemonrail.lab.decider;
