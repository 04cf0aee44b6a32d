/** The lab's command line: one class a command. */
package lemonrail.lab.cli;
