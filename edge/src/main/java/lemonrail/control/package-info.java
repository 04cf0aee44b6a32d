/** The control node, which serves watches, replicates entries from its peers and accepts configuration changes. */
package lemonrail.control;
