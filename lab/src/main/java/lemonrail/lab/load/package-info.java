/** Open-loop load generation. */
package lemonrail.lab.load;
