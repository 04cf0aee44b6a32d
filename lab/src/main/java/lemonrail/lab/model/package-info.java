/** Models of endpoints, clients, discovery and faults. They do no input or output and have no clock of their own. */
package lemonrail.lab.model;
