/** The command line, with one class per command. */
package lemonrail.cli;
