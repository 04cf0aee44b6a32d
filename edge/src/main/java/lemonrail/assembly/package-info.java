/** Builds a sidecar from its components and runs its start, reload and shutdown. */
package lemonrail.assembly;
