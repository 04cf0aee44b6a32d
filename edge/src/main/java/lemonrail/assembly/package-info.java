/** The sidecar put together from its parts. */
package lemonrail.assembly;
