/** The entry point of the lab's command line, and the demo. */
package lemonrail.lab;
