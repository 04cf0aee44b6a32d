/** Statistics and small algorithms that the decisions share, and the reader of the settings. No I/O, no clock. */
package lemonrail.core;
