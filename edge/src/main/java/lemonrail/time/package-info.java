/** The clock of the event loop, and how late the loop runs. */
package lemonrail.time;
