/** Support for upgrades, in which two processes share one address: the shared listener and the process lock. */
package lemonrail.upgrade;
