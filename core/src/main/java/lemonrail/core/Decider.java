package lemonrail.core;

import lemonrail.core.Contract.Actions;
import lemonrail.core.Contract.Events;
import lemonrail.core.Contract.Settings;

/** Makes a balancer. Every installation has the project's own; experiments put others in its place. */
public interface Decider {

    /** A balancer that knows its settings and nothing else; it acts through {@code host}. */
    Events create(Settings settings, long seed, Actions host);
}
