/** Real processes and sockets of a scenario: endpoints, sidecars, clients, discovery and fault injection. */
package lemonrail.lab.host;
