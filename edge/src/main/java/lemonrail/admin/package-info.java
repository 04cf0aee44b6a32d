/** The admin API of a process, over HTTP on a listener of its own. */
package lemonrail.admin;
