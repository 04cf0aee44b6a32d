/** The phases of a process from its start to its end. */
package lemonrail.lifecycle;
