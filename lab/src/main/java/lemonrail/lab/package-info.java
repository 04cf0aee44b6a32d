/** The lab's program and the demo. */
package lemonrail.lab;
