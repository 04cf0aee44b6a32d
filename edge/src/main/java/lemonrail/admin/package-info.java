/** The HTTP server for the admin APIs, which use a separate listener, and the admin API of a sidecar. */
package lemonrail.admin;
