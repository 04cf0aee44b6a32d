/** The command line of the lab, with one class for each command. */
package lemonrail.lab.cli;
