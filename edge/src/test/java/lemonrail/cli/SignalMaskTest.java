package lemonrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how the ignored signals are read from the lines of /proc/self/status. */
class SignalMaskTest {

    /** The third mask is that of a sidecar started through nohup in the background of a shell. */
    @ParameterizedTest
    @CsvSource({
        "0000000000000000,false",
        "0000000000000001,true",
        "0000000000000003,true",
        "0000000000001002,false",
        "ffffffffffffffff,true",
        "fffffffffffffffe,false",
        "'',false",
        "none,false"
    })
    void readsIgnoredSignalsFromTheMask(String mask, boolean ignored) {
        assertEquals(
                ignored,
                SignalMask.ignores(
                        List.of(
                                "Name:\tjava",
                                "SigBlk:\t0000000000000001",
                                "SigIgn:\t" + mask,
                                "SigCgt:\t0000000000000001"),
                        SignalMask.HUP));
    }

    @ParameterizedTest
    @CsvSource({"''", "SigBlk:\t1"})
    void unreadableMaskMeansNotIgnored(String line) {
        assertEquals(false, SignalMask.ignores(List.of(line), SignalMask.HUP));
    }
}
