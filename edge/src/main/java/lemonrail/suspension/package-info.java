/** Endpoints that an operator has suspended, and the file that keeps them over a restart. */
package lemonrail.suspension;
