/**
 * The API between a load balancer and its host: settings, endpoints, requests and outcomes, the events that go in
 * ({@link lemonrail.core.balancer.LoadBalancer}) and the actions that come out
 * ({@link lemonrail.core.balancer.LoadBalancerHost}). Times are milliseconds on the host's monotonic clock, whose
 * zero has no meaning; durations are milliseconds too. Everything here is called on one thread, the event loop's.
 */
package lemonrail.core.balancer;
