/** Scale runs: many sidecars before a control plane. */
package lemonrail.lab.scale;
