/** The command line: one class a command. */
package lemonrail.cli;
