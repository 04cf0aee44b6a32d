package lemonrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import lemonrail.config.ValueType;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts a duration option, written as in configuration files, to milliseconds. */
public final class DurationConverter implements ITypeConverter<Double> {

    private static final double DAY_MS = 86_400_000;
    private static final ValueType<Double> DURATION = ValueType.duration(0, DAY_MS);

    @Override
    public Double convert(String text) {
        return DURATION.parse(TextNode.valueOf(text))
                .orElseThrow(() -> new TypeConversionException("'" + text + "' must be " + DURATION.allowed()));
    }
}
