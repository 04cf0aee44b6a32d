/** Models of endpoints, clients, discovery and faults: no input, no output and no clock of their own. */
package lemonrail.lab.model;
