/** A control node: it serves watches, replicates from its peers and takes changes of the configuration. */
package lemonrail.control;
