/** Endpoints that operators have suspended, and the file that preserves the suspensions across restarts. */
package lemonrail.suspension;
