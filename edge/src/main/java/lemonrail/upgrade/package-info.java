/** Two processes at one address during an upgrade: the shared listener and the lock files. */
package lemonrail.upgrade;
