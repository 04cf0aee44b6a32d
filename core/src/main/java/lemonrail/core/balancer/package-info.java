/**
 * The API between a load balancer and its host: settings, endpoints, requests and outcomes, the events that the host
 * reports ({@link lemonrail.core.balancer.LoadBalancer}) and the actions that the balancer takes
 * ({@link lemonrail.core.balancer.LoadBalancerHost}). Times are in milliseconds on the host's monotonic clock, which
 * has an arbitrary origin; durations are in milliseconds too. All calls are made on the event loop's thread.
 */
package lemonrail.core.balancer;
