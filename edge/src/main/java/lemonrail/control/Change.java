package lemonrail.control;

import lemonrail.core.control.Item;

/**
 * A change of an operator's, checked.
 *
 * @param topic the service, or that of a settings document
 * @param body what is said, empty where the thing is gone
 * @param asOfMs the time that it stands for, or {@link Long#MAX_VALUE} for now
 */
public record Change(String topic, String id, boolean gone, String body, long asOfMs) {

    /** An endpoint of a service, in the platform's form as JSON; what is bad names the field. */
    public static Change endpoint(String service, String id, byte[] json) {
        return new Change(
                ItemText.word("service", service),
                id,
                false,
                ItemText.endpoint(id, ItemText.object(json)),
                Long.MAX_VALUE);
    }

    /** An endpoint is no more. */
    public static Change endpointGone(String service, String id) {
        return new Change(ItemText.word("service", service), ItemText.word("id", id), true, "", Long.MAX_VALUE);
    }

    /** A settings document. */
    public static Change settings(String name, String text) {
        return new Change(
                Item.SETTINGS + ItemText.word("settings", name), name, false, ItemText.document(text), Long.MAX_VALUE);
    }

    /** A settings document is no more. */
    public static Change settingsGone(String name) {
        return new Change(Item.SETTINGS + ItemText.word("settings", name), name, true, "", Long.MAX_VALUE);
    }

    /** The same for what was so at an earlier time. */
    public Change asOf(long ms) {
        return new Change(topic, id, gone, body, ms);
    }
}
